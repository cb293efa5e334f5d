/**
 * Program for `endless-run.ts`: a backend server that sends bytes without end, and clients that ask a daemon for them again and again and read
 * what they get. They have a process of their own, so that their work does not delay the calm callers.
 */
import {connect} from 'node:net';
import process from 'node:process';
import {EndlessServerStandIn, type EndlessBytes} from '../stand-ins/platform/endless-server-stand-in.js';

/** Clients that are refused come back after a while. */
const RETRY_MS = 1000;

const [bytes, front = '', path = '', requests = '1', isReading = 'true'] = process.argv.slice(2);
const [host, port] = front.split(':');
const server = await EndlessServerStandIn.create('endless', bytes as EndlessBytes);
let sent = 0;

function ask(): void {
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	socket.once('connect', () => {
		socket.write(`POST ${path} HTTP/1.1\r\nhost: desk.example\r\nfireflyport-attempt-id: endless-${++sent}\r\nfireflyport-deadline-ms: 10000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
		if (isReading === 'true') {
			socket.resume();
		}
	});
	socket.once('close', () => {
		setTimeout(ask, RETRY_MS);
	});
}

for (let index = 0; index < Number(requests); index++) {
	setTimeout(ask, index * RETRY_MS / Number(requests));
}

console.log(`event=listening address=${server.address}`);
