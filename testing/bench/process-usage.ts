/** CPU time and memory of processes that the benchmark started, read from `/proc`. */
import {readFileSync} from 'node:fs';
import {readFile} from 'node:fs/promises';

/** Length of one clock tick of `/proc/<pid>/stat` on Linux. */
const CLOCK_TICK_MS = 10;

const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

export type ProcessUsage = {
	/** User and system time since the process started. */
	readonly cpuMs: number;
	/** Resident anonymous memory: heap and stacks, without the mapped program files. */
	readonly anonymousBytes: number;
};

/** Rejects when the process has ended. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const [stat, status] = await Promise.all([readFile(`/proc/${pid}/stat`, 'utf8'), readFile(`/proc/${pid}/status`, 'utf8')]);
	// The program name is in parentheses and may contain spaces.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const kilobytes = /RssAnon:\s+(?<value>\d+) kB/v.exec(status)!.groups!.value;
	return {
		cpuMs: (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) * CLOCK_TICK_MS,
		anonymousBytes: Number(kilobytes) * 1024,
	};
}

/** Largest resident memory of a process so far, in bytes. Throws when the process has ended. */
export function peakMemoryBytes(pid: number): number {
	const {groups} = /VmHWM:\s+(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))!;
	return Number(groups!.kilobytes) * 1024;
}
