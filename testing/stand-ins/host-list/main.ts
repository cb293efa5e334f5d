/** Entry point of the host list stand-in. */
import {runStandIn} from '../run-stand-in.js';
import {HostListStandIn, hostListSettingsSchema} from './host-list-stand-in.js';

await runStandIn('host-list', hostListSettingsSchema, async settings => HostListStandIn.create(settings));
