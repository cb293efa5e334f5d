/** Draws crash reports with a given number of crashes, requests a crash and parts a request. */
import type {CrashReport} from '../../src/quarantine/crash-memory.js';
import {createRandom} from './arrivals.js';

/** `documents`: the parts are those of some documents, as in prompts; `drawn`: any of many parts, so that hardly two requests are alike. */
export type CrashReportShape = {
	readonly crashes: number;
	readonly requests: number;
	readonly parts: number;
	readonly kind: 'documents' | 'drawn';
};

const DOCUMENTS = 12;
/** Parts that all prompts share. */
const COMMON_PARTS = 4;
const DRAWN_PARTS = 6000;
const DRAWN_REQUESTS = 600;

/** Yields one report after the other, so that they are not part of the measured heap. */
export function * drawCrashReports({crashes, requests, parts, kind}: CrashReportShape, seed: number): Generator<CrashReport> {
	const random = createRandom(seed);
	const draw = (count: number): number => Math.floor(count * random());
	const subjectsOf = (id: string): readonly string[] => {
		switch (kind) {
			case 'documents': {
				const document = draw(DOCUMENTS);
				return [...Array.from({length: parts - 1}, (_, index) => index < COMMON_PARTS ? `common-${index}` : `document-${document}-${index}`), `request-${id}`];
			}

			case 'drawn': {
				return [...new Set(Array.from({length: parts - 1}, () => `part-${draw(DRAWN_PARTS)}`)), `request-${draw(DRAWN_REQUESTS)}`];
			}
		}
	};

	for (let index = 0; index < crashes * requests; index++) {
		const id = `${index}`;
		yield {server: `i-${Math.floor(index / requests)}`, request: id, subjects: subjectsOf(id)};
	}
}
