import {describe, expect, it} from 'vitest';
import {parseDatagram} from '../src/fleet/load-message.js';
import {PlacementTable, type Placement} from '../src/fleet/placement-table.js';
import type {RoutedRequest} from '../src/gateway/gateway-request.js';
import {RoomShares} from '../src/gateway/room-shares.js';
import {RouteTable} from '../src/gateway/route-table.js';
import type {Service, Workspace} from '../src/gateway/serving-configuration.js';
import {WorkspaceShares} from '../src/scheduling/workspace-shares.js';
import {createLogger} from '../src/util/logger.js';
import {hash32} from '../src/util/uniform-hash.js';
import {firstSiteProfile} from './fixtures/engine-profiles.js';

const SERVICE = 'model';

const model: Service = {name: SERVICE, coldRequestsPerSecond: 0, engine: firstSiteProfile};
const workspace = (name: string): Workspace => ({
	name, apiKeys: [name], priority: undefined, regions: undefined,
});
const limits = {maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1};
const createTable = (workspaces: readonly Workspace[]) => RouteTable.create({
	version: 1, routes: [], services: [model], workspaces, limits,
});

const placement = (id: string, key?: number): Placement => ({
	id, server: 'e-1', helpers: [], prefillMs: 10, contextTokens: 1000, reserved: [], gapTargetMs: 50, weight: 1000, targetMs: 400, workspace: key,
});

const JUDGED_AT = 10;

/** One daemon of a fleet, all of whose engines are full, in which the large workspace has had twelve times the work of the small one. */
function createDaemon(isLargeFleet: boolean) {
	const table = createTable([workspace('large'), workspace('small')]);
	const placements = PlacementTable.create();
	const lines: string[] = [];
	let yields = 0;
	const rooms = RoomShares.create({
		shares: WorkspaceShares.create(),
		logger: createLogger('info', {}, line => {
			lines.push(line);
		}),
		mayWait: ({engine}) => engine !== undefined && isLargeFleet,
		serviceOf: () => SERVICE,
		countYield() {
			yields++;
		},
	});
	placements.listen(rooms);
	const request = (name: string, service = model): RoutedRequest => ({
		service, workspace: workspace(name), workspaceKey: table.workspaceKey(service, workspace(name)), rank: 1, arrivedAt: 0, deadline: 1000, isRelayed: false,
		route: {targetLatencyMs: 400, kind: {kind: 'idempotent'}},
	} as unknown as RoutedRequest);
	for (let index = 0; index < 13; index++) {
		placements.open('other', placement(`r-${index}`, rooms.keyOf(request(index === 0 ? 'small' : 'large'))), 0);
	}

	const isReserved = (name: string, overrides: Partial<RoutedRequest> = {}) => rooms.isReserved({...request(name), ...overrides}, () => [firstSiteProfile.slots], JUDGED_AT);
	return {
		rooms, placements, request, isReserved, lines, yields: () => yields,
	};
}

describe('room shares of a daemon', () => {
	it('should keep scarce room of a large fleet for the workspace under its share, and tell it once', () => {
		const {rooms, isReserved, request, lines, yields} = createDaemon(true);
		expect([isReserved('large'), isReserved('small'), isReserved('large', {isRelayed: true})]).toEqual([true, false, false]);
		rooms.recordYield(request('large'), JUDGED_AT);
		rooms.recordYield(request('large'), JUDGED_AT + 10);
		expect(yields()).toBe(2);
		expect(lines.filter(line => line.includes('event=workspace_over_share service=model workspace=large'))).toHaveLength(1);
	});

	it('should count requests that servers refused at once as no work', () => {
		const {placements, isReserved} = createDaemon(true);
		for (let index = 2; index < 13; index++) {
			placements.close('other', `r-${index}`, {isAnswered: false, now: 5});
		}

		expect(isReserved('large')).toBe(false);
	});

	it('should serve a small fleet, a plain service and a single workspace as before, with unchanged messages', () => {
		const {rooms, isReserved, request} = createDaemon(false);
		const plain = {...model, engine: undefined};
		expect([rooms.keyOf(request('large')), rooms.keyOf(request('large', plain)), isReserved('large')]).toEqual([undefined, undefined, false]);
		expect(createDaemon(true).rooms.keyOf(request('large', plain))).toBeUndefined();
		expect(createTable([workspace('large')]).workspaceKey(model, workspace('large'))).toBeUndefined();
		expect(JSON.stringify(placement('r'))).not.toContain('workspace');
	});

	it('should read messages with and without a workspace', () => {
		// Guards against a rolling upgrade in which daemons of two versions do not read each other.
		const read = (key?: number) => parseDatagram(new TextEncoder().encode(JSON.stringify({
			as: 'peer', failureDomain: 'braga', cores: 1, messages: [{
				kind: 'opened', daemon: 'd', domain: 'braga', placement: placement('r', key), ageMs: 0,
			}],
		})))?.messages[0];
		expect(read(hash32('large'))).toMatchObject({placement: {id: 'r', workspace: hash32('large')}});
		expect(read()).toMatchObject({placement: {id: 'r'}});
		expect(hash32('large')).toBeLessThan(2 ** 32);
	});
});
