/**
 * Prints the intent of the Sugarloaf deployment. The environment variables `ENDPOINT_HOST` and `ENDPOINT_BASE_PORT`
 * set the host and the first port of the endpoints.
 */
import process from 'node:process';
import {printIntent} from '@filbertwell/intent/printIntent';
import {sugarloafIntent} from './sugarloafIntent.js';

const {ENDPOINT_HOST: host = '127.0.0.1', ENDPOINT_BASE_PORT: basePort = '22000'} = process.env;

printIntent(sugarloafIntent({host, basePort: Number(basePort)}));
