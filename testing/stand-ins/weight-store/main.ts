/** Entry point of the weight store stand-in. */
import {runStandIn} from '../run-stand-in.js';
import {WeightStoreStandIn, weightStoreSettingsSchema} from './weight-store-stand-in.js';

await runStandIn('weight-store', weightStoreSettingsSchema, async settings => WeightStoreStandIn.create(settings));
