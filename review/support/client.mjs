/** Stand-in for clients: each request on a connection of its own, without retries. */
import {request} from 'node:http';

let count = 0;

/** Sends one request and resolves with what came back: `status` is undefined if the connection ended without a response. */
export async function send(front, {method, path, host, deadlineMs, record, headers = {}}) {
	const [hostname, port] = front.split(':');
	const attempt = `a${String(++count).padStart(6, '0')}`;
	const sentAt = performance.now();
	record('sent', {request: attempt, to: front, path});
	return new Promise(resolve => {
		const finish = (status, res, body) => {
			record('answered', {request: attempt, status: status ?? 'none'});
			resolve({
				attempt, to: front, path, sentAt, endedAt: performance.now(), status, headers: res?.headers ?? {}, body,
			});
		};

		const req = request({
			hostname, port, method, path, agent: false, headers: {
				host, 'fireflyport-attempt-id': attempt, 'fireflyport-deadline-ms': deadlineMs, ...headers,
			},
		}, res => {
			let body = '';
			res.setEncoding('utf8');
			res.on('data', chunk => {
				body += chunk;
			});
			res.on('end', () => {
				finish(res.complete ? res.statusCode : undefined, res, body);
			});
			res.on('error', () => {
				finish(undefined, res, body);
			});
		});
		const timer = setTimeout(() => {
			req.destroy();
		}, deadlineMs);
		req.on('close', () => {
			clearTimeout(timer);
		});
		req.on('error', () => {
			finish(undefined, undefined, '');
		});
		req.end(method === 'POST' ? `order ${attempt}` : undefined);
	});
}
