/**
 * Program that ends processes when the process that started them is gone, also after SIGKILL. Lines on standard input
 * say which: `add <pid>` and `remove <pid>`. At the end of the input it ends what is left, by process id.
 */
import process from 'node:process';
import {createInterface} from 'node:readline';

const pids = new Set<number>();

// An interrupt from the terminal reaches the whole process group; the guard has to outlive the process that it watches.
process.on('SIGINT', () => undefined);
process.on('SIGTERM', () => undefined);

for await (const line of createInterface({input: process.stdin})) {
	const [verb, pid] = line.split(' ');
	if (verb === 'add') {
		pids.add(Number(pid));
	} else {
		pids.delete(Number(pid));
	}
}

for (const pid of pids) {
	try {
		process.kill(pid, 'SIGKILL');
	} catch {
		// It has ended already.
	}
}
