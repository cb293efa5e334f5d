import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {claimObjectKey, ClaimLayoutStore} from '../src/operations/claim-layout.js';
import {ClaimPartition} from '../src/operations/claim-partition.js';
import {ClaimRelay} from '../src/operations/claim-relay.js';
import {ClaimSweeper, DELETION_DELAY_MS, isDue} from '../src/operations/claim-sweeper.js';
import type {Claim} from '../src/peer/protocol.js';
import {FaultyObjectApi} from './fixtures/faulty-object-api.js';
import {DaemonFleet, CountingService} from './fixtures/operation-daemons.js';

const claimOf = (index: number, keyTimeMs = 0): Claim => ({
	operation: index.toString(16).padStart(64, '0'), keyTimeMs, attempt: `d.i.${index}`, requestDigest: 'ab'.repeat(32), remainingMs: 5000,
});
const deadline = () => performance.now() + 5000;

/** Makes claims at a constant rate for 600 ms and returns the average number of claims per write. */
async function claimsPerWrite(claimsPerSecond: number): Promise<number> {
	const objectApi = new FaultyObjectApi(() => 3);
	const partition = ClaimPartition.create({objectApi, key: 'claims/0/0', minimumWriteIntervalMs: 50});
	const claims: Array<Promise<unknown>> = [];
	const start = performance.now();
	while (performance.now() - start < 600) {
		const due = (performance.now() - start) / 1000 * claimsPerSecond;
		while (claims.length < due) {
			claims.push(partition.claim(claimOf(claims.length), deadline()));
		}

		await delay(2);
	}

	await Promise.all(claims);
	const {messages, writes} = partition.counts;
	partition.close();
	return messages / writes;
}

describe('claim objects', () => {
	it('should batch more claims into each write as the load grows', async () => {
		const figures = [await claimsPerWrite(20), await claimsPerWrite(200), await claimsPerWrite(2000)];
		console.log(`claims per write at 20, 200 and 2000 claims/s: ${figures.map(figure => figure.toFixed(1)).join(', ')}`);
		expect(figures[1]! / figures[0]!).toBeGreaterThan(2);
		expect(figures[2]! / figures[1]!).toBeGreaterThan(4);
	});

	it('should refuse claims beyond the size limit of an object instead of dropping older ones', async () => {
		const objectApi = new FaultyObjectApi();
		const partition = ClaimPartition.create({objectApi, key: 'claims/0/0', minimumWriteIntervalMs: 0});
		const answers = await Promise.all(Array.from({length: 4000}, async (_, index) => partition.claim({...claimOf(index), attempt: `${index}-`.padEnd(400, 'x')}, deadline())));
		const claimed = answers.filter(({kind}) => kind === 'claimed').length;
		expect(claimed).toBeLessThan(4000);
		expect(answers.filter(({kind}) => kind === 'unavailable')).toHaveLength(4000 - claimed);
		expect(JSON.stringify(objectApi.get('claims/0/0')!.value).length).toBeLessThan(1_000_000);
		expect(await partition.claim({...claimOf(0), attempt: 'other'}, deadline())).toMatchObject({kind: 'held'});
	});

	it('should cache a limited number of objects and still find a claim whose object was evicted', async () => {
		const objectApi = new FaultyObjectApi();
		const layout = ClaimLayoutStore.create(objectApi, () => ({retentionMs: 1000, partitions: 1}));
		const relay = ClaimRelay.create({
			objectApi, layout, maxPartitions: 4, minimumWriteIntervalMs: 0,
		});
		for (let bucket = 0; bucket < 20; bucket++) {
			expect(await relay.claim(claimOf(bucket, bucket * 10_000))).toEqual({kind: 'claimed'});
		}

		expect(relay.size).toBeLessThanOrEqual(4);
		expect(await relay.claim({...claimOf(0), attempt: 'other'})).toMatchObject({kind: 'held', attempt: 'd.i.0'});
	});

	it('should keep the stored layout when the configured one changes', async () => {
		const objectApi = new FaultyObjectApi();
		const first = await ClaimLayoutStore.create(objectApi, () => ({retentionMs: 1000, partitions: 2})).get(1000, 7);
		const later = await ClaimLayoutStore.create(objectApi, () => ({retentionMs: 10, partitions: 64})).get(1000, 8);
		expect(later).toEqual({retentionMs: 1000, partitions: 2, createdAtMs: 7});
		expect(claimObjectKey('0f'.repeat(32), 12_345, later!)).toBe(claimObjectKey('0f'.repeat(32), 12_345, first!));
	});
});

describe('deletion of claims', () => {
	it('should delete exactly the objects whose keys have all expired', async () => {
		const objectApi = new FaultyObjectApi();
		const fleet = new DaemonFleet(objectApi, new CountingService(false), 1);
		const layout = ClaimLayoutStore.create(objectApi, () => ({retentionMs: 60_000, partitions: 1}));
		const createdAtMs = 1_800_000_000_000;
		const storedLayout = (await layout.get(1000, createdAtMs))!;
		const buckets = Array.from({length: 12}, (_, index) => createdAtMs + (index * 10_000));
		for (const bucket of buckets) {
			objectApi.put(`claims/${bucket}/0`, {formatVersion: 1, claims: {}});
		}

		const now = createdAtMs + 60_000 + DELETION_DELAY_MS + 35_000;
		objectApi.put('claims/swept', {untilMs: createdAtMs - 20_000});
		const sweeper = ClaimSweeper.create({
			objectApi, layout, directory: fleet.directory(0), bucketPauseMs: 0, idlePauseMs: 5, wallClock: () => now,
		});
		const remaining = () => buckets.filter(bucket => objectApi.get(`claims/${bucket}/0`));
		const expected = buckets.filter(bucket => !isDue(bucket, storedLayout, now));
		await expect.poll(remaining).toEqual(expected);
		await expect.poll(() => objectApi.get('claims/swept')?.value).toEqual({untilMs: expected[0]});
		await sweeper.close();
		fleet.close();
		expect(expected).toHaveLength(9);
	});
});
