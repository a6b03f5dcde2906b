/**
 * Prints Rodalar's intent. `ENDPOINT_HOST` and `ENDPOINT_BASE_PORT` say where the endpoints listen.
 */
import process from 'node:process';
import {printIntent} from '@filbertwell/intent/printIntent';
import {rodalarIntent} from './rodalarIntent.js';

const {ENDPOINT_HOST: host = '127.0.0.1', ENDPOINT_BASE_PORT: basePort = '21000'} = process.env;

printIntent(rodalarIntent({host, basePort: Number(basePort)}));
