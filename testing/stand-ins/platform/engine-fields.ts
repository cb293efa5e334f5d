/** Parameters of a model engine under the field names of the platform's configuration. */

/** Performance parameters of the engines in the site files, also used to test the cost model. */
export const engineFields = {
	slots: 11,
	'kv-capacity-tokens': 450_000,
	stride: 46,
	step_ms: 0.925,
	per_seq_ms: 0.007,
	context_per_k: 0.002_54,
	read_per_s: 256_000,
	pairs_per_m: 0.0917,
	'hop-ms': 0.1,
	usual: {prompt: 13_252, answer: 1540},
};
