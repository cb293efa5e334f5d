/** Entry point of the object API stand-in. */
import {runStandIn} from '../run-stand-in.js';
import {objectApiSettingsSchema} from './faults.js';
import {ObjectApiStandIn} from './object-api-stand-in.js';

await runStandIn('object-api', objectApiSettingsSchema, async settings => ObjectApiStandIn.create(settings));
