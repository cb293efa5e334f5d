/** Statements of the scenario language. Times are in ms from the start of the run. */
import type {LengthClass} from '../../src/util/length-class.js';
import type {Place} from './scenario-error.js';

/** A backend server, given by failure domain and number. Numbers start at 1. */
export type BackendReference = {readonly domain: string; readonly number: number};

/** A failure or an operator action. Faults with `forMs` end after that time. */
export type Fault =
	| {readonly kind: 'kill-daemon'; readonly daemon: string}
	| {readonly kind: 'stop-daemon'; readonly daemon: string}
	| {readonly kind: 'freeze-daemon'; readonly daemon: string; readonly forMs: number}
	| {readonly kind: 'start-daemon'; readonly domain: string}
	| {readonly kind: 'object-api-outage'; readonly forMs: number}
	| {readonly kind: 'object-api-slow'; readonly byMs: number; readonly forMs: number}
	| {readonly kind: 'object-api-loses-answers'; readonly share: number; readonly effect: 'before' | 'after' | 'late'; readonly forMs: number}
	| {readonly kind: 'object-api-unreachable'; readonly domain: string; readonly forMs: number}
	| {readonly kind: 'engine-act'; readonly act: 'crash' | 'turn-cold' | 'silence'; readonly engine: BackendReference}
	| {readonly kind: 'engine-slow'; readonly engine: BackendReference; readonly factor: number; readonly forMs: number}
	| {readonly kind: 'engine-leaves'; readonly engine: BackendReference}
	| {readonly kind: 'service-act'; readonly act: 'crash' | 'turn-cold'; readonly service: BackendReference}
	| {readonly kind: 'services-lose-answers'; readonly forMs: number}
	| {readonly kind: 'domain-out'; readonly domain: string}
	| {readonly kind: 'domain-in'; readonly domain: string};

/** Requests that callers send. With `repeat`, each booking is sent again through another daemon. */
export type Load =
	| {readonly kind: 'prompts'; readonly lengthClass: LengthClass; readonly perSecond: number}
	| {readonly kind: 'bookings'; readonly perSecond: number; readonly repeat: boolean}
	| {readonly kind: 'lookups'; readonly perSecond: number};

/** Condition that is checked at the end of the run, in addition to the invariants, which are always checked. */
export type Expectation =
	| {readonly kind: 'executed-at-most-once'}
	| {readonly kind: 'no-request-cut'}
	| {readonly kind: 'first-token'; readonly lengthClass: LengthClass; readonly belowMs: number}
	| {readonly kind: 'answered-share'; readonly of: 'requests' | 'bookings'; readonly share: number}
	| {readonly kind: 'answered-from'; readonly share: number; readonly fromMs: number}
	| {readonly kind: 'no-work-to-domain'; readonly domain: string; readonly afterMs: number}
	| {readonly kind: 'no-work-to-engine'; readonly engine: BackendReference; readonly afterMs: number};

export type Statement =
	| {readonly kind: 'deployment'; readonly example: 'sacaria' | 'frialia'; readonly daemons: number; readonly engines: number}
	| {readonly kind: 'warmth'; readonly startsWarm: boolean}
	| {readonly kind: 'speed'; readonly factor: number}
	| {readonly kind: 'duration'; readonly ms: number}
	| {readonly kind: 'fault'; readonly atMs: number; readonly fault: Fault}
	| {readonly kind: 'load'; readonly fromMs: number; readonly toMs: number | undefined; readonly load: Load}
	| {readonly kind: 'expect'; readonly expectation: Expectation};

/** A statement with its source text and place. `columns` holds the column of each field. */
export type ParsedStatement<S extends Statement = Statement> = {
	readonly statement: S;
	readonly text: string;
	readonly place: Place;
	readonly columns: Readonly<Record<string, number>>;
};
