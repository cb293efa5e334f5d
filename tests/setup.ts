/** Property tests use one seed, so that each run reaches the same verdict; FIREFLYPORT_TEST_SEED tries another. */
import process from 'node:process';
import fc from 'fast-check';

const DEFAULT_SEED = 20_261_204;

fc.configureGlobal({seed: Number(process.env.FIREFLYPORT_TEST_SEED ?? DEFAULT_SEED)});
