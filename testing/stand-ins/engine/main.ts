/** Entry point of the engine stand-in. */
import {runStandIn} from '../run-stand-in.js';
import {EngineStandIn} from './engine-stand-in.js';
import {engineSettingsSchema} from './settings.js';

await runStandIn('engine', engineSettingsSchema, async settings => EngineStandIn.create(settings));
