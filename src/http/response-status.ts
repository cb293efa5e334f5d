/** Valid statuses of responses (RFC 9110, section 15). undici itself fails responses with a status below 100. */
const MAX_STATUS = 599;

/** Returns the status if it is valid, and throws otherwise. */
export function checkedStatus(status: number): number {
	if (status > MAX_STATUS) {
		throw new Error(`${status} is no HTTP status`);
	}

	return status;
}
