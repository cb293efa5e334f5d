/** Entry point of the plain service stand-in. */
import {runStandIn} from '../run-stand-in.js';
import {PlainServiceStandIn, plainServiceSettingsSchema} from './plain-service-stand-in.js';

await runStandIn('plain-service', plainServiceSettingsSchema, async settings => PlainServiceStandIn.create(settings));
