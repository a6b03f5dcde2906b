/**
 * Prints the intent of the Rodalar deployment. The environment variables `ENDPOINT_HOST` and `ENDPOINT_BASE_PORT`
 * set the host and the first port of the endpoints.
 */
import process from 'node:process';
import {printIntent} from '@filbertwell/intent/printIntent';
import {rodalarIntent} from './rodalarIntent.js';

const {ENDPOINT_HOST: host = '127.0.0.1', ENDPOINT_BASE_PORT: basePort = '21000'} = process.env;

printIntent(rodalarIntent({host, basePort: Number(basePort)}));
