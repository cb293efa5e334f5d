/**
 * Program that kills registered processes when the process that started them exits, even by SIGKILL. It reads
 * `add <pid>` and `remove <pid>` lines from standard input; at the end of the input it kills the remaining pids.
 */
import process from 'node:process';
import {createInterface} from 'node:readline';

const pids = new Set<number>();

// Ctrl+C in the terminal signals the whole process group; the guard has to outlive its parent process.
process.on('SIGINT', () => undefined);
process.on('SIGTERM', () => undefined);

for await (const line of createInterface({input: process.stdin})) {
	const [command, pid] = line.split(' ');
	if (command === 'add') {
		pids.add(Number(pid));
	} else {
		pids.delete(Number(pid));
	}
}

for (const pid of pids) {
	try {
		process.kill(pid, 'SIGKILL');
	} catch {
		// The process has already exited.
	}
}
