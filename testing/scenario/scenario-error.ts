/** Error in a scenario file, with its place in the file. */

/** Place in a file; line and column count from 1. */
export type Place = {readonly line: number; readonly column: number};

export class ScenarioError extends Error {
	override readonly name = 'ScenarioError';

	constructor(message: string, readonly place: Place) {
		super(`line ${place.line}, column ${place.column}: ${message}`);
	}
}
