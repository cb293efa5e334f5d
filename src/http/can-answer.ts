/** Whether a request can still get a response. */
import type {IncomingMessage} from 'node:http';

/**
 * Whether the connection of a request can still carry a response to it. In the lingering close, requests are read that came after this
 * daemon has ended its side.
 */
export const canAnswer = ({socket}: IncomingMessage): boolean => socket.writable;
