/** Property tests use a fixed seed, so that every run generates the same cases. FIREFLYPORT_TEST_SEED overrides it. */
import process from 'node:process';
import fc from 'fast-check';

const DEFAULT_SEED = 20_261_204;

fc.configureGlobal({seed: Number(process.env.FIREFLYPORT_TEST_SEED ?? DEFAULT_SEED)});
