/**
 * Test fixture that runs the compiled command line against a platform stand-in and an admin server.
 */
import {execFile, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text as readText} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import {
	endpoint, idempotentRoute, intent, region, service, sitePreference,
} from '@filbertwell/intent/buildIntent';
import {formatIntent} from '@filbertwell/intent/printIntent';
import {createPlatformStandin, type PlatformStandin} from '@filbertwell/standins/platformStandin';
import type {EntryState} from '@filbertwell/types/entryState';
import type {Intent} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';

/** Exit code and output of a run. */
export type CliRun = {
	readonly code: number;
	readonly stdout: string;
	readonly stderr: string;
};

/** Returns the status and body with which the admin server answers a request for a path. */
export type AdminHandler = (path: string) => {readonly status: number; readonly body: string};

/** A platform stand-in, an admin server and a directory with settings and intent files. */
export type CliFixture = {
	readonly platform: PlatformStandin;
	readonly run: (args: readonly string[], input?: string) => Promise<CliRun>;
	/** Runs with a standard output that is closed by the reader; returns the exit code and standard error. */
	readonly runWithClosedStdout: (args: readonly string[]) => Promise<Omit<CliRun, 'stdout'>>;
	readonly writeText: (name: string, text: string) => Promise<void>;
	readonly setAdminHandler: (handler: AdminHandler) => void;
	readonly close: () => Promise<void>;
};

/** An intent with two regions of one availability zone each, and one service with an endpoint in each zone. */
export const smallIntent: Intent = intent({
	deployment: 'small',
	regions: [region('south', ['south-a']), region('north', ['north-a'])],
	services: [service({
		name: 'orders',
		endpoints: ['south-a', 'north-a'].map((availabilityZone, index) => endpoint({
			id: `orders-${index}`, host: '127.0.0.1', port: 9001 + index, availabilityZone, slots: 3,
		})),
		routes: [idempotentRoute({name: 'read'})],
	})],
	sitePreferences: [sitePreference('near', ['south-a', 'north-a'])],
});

/** Creates a member with a configuration version in force. */
export const createMember = (id: string, configurationVersion: number): Member => ({
	id,
	role: 'entry',
	incarnation: 1,
	region: 'south',
	availabilityZone: 'south-a',
	site: 'south-a',
	callerAddress: {host: '127.0.0.1', port: 1},
	peerAddress: {host: '127.0.0.1', port: 2},
	state: 'serving',
	health: 'alive',
	configurationVersion,
	load: {inFlight: 1, queued: 0, requestsPerSecond: 10},
});

/** Creates the state of an entry, which is the first of the members. */
export const createEntryState = (members: readonly [Member, ...Member[]], overrides: Partial<EntryState> = {}): EntryState => ({
	self: members[0], members, drains: [], shifts: [], ...overrides,
});

const main = fileURLToPath(new URL('../../lib/main.js', import.meta.url));

const runMain = async (args: readonly string[], cwd: string, input: string): Promise<CliRun> => new Promise(resolve => {
	const child = execFile(process.execPath, [main, ...args], {cwd}, (error, stdout, stderr) => {
		resolve({code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr});
	});
	child.stdin?.on('error', () => {
		// A command that reads no input may end before the input is written.
	});
	child.stdin?.end(input);
});

const runMainWithClosedStdout = async (args: readonly string[], cwd: string): Promise<Omit<CliRun, 'stdout'>> => {
	const child = spawn(process.execPath, [main, ...args], {cwd, stdio: ['ignore', 'pipe', 'pipe']});
	child.stdout.destroy();
	const [stderr, [code]] = await Promise.all([readText(child.stderr), once(child, 'exit') as Promise<[number]>]);
	return {code, stderr};
};

const closeServer = async (server: Server) => {
	server.closeAllConnections();
	server.close();
	await once(server, 'close');
};

/** Starts the stand-in and the admin server, and writes the settings and `smallIntent` to files. */
export const createCliFixture = async (): Promise<CliFixture> => {
	const platform = await createPlatformStandin({host: '127.0.0.1', port: 0});
	let handleAdmin: AdminHandler = () => ({status: 503, body: 'starting'});
	const server = createServer((request, response) => {
		const {status, body} = handleAdmin(request.url ?? '');
		response.writeHead(status).end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const directory = await mkdtemp(path.join(tmpdir(), 'filbertwell-cli-'));
	const writeText = async (name: string, text: string) => writeFile(path.join(directory, name), text);
	await writeText('filbertwell.ini', [
		'[platform]',
		'host = 127.0.0.1',
		`port = ${platform.address.port}`,
		'timeoutMs = 1000',
		'[operator]',
		'author = ana',
		'[entries]',
		`adminAddresses = 127.0.0.1:${(server.address() as AddressInfo).port}`,
	].join('\n'));
	await writeText('intent.json', formatIntent(smallIntent));
	return {
		platform,
		run: async (args, input = '') => runMain(args, directory, input),
		runWithClosedStdout: async args => runMainWithClosedStdout(args, directory),
		writeText,
		setAdminHandler(handler) {
			handleAdmin = handler;
		},
		async close() {
			await Promise.all([closeServer(server), platform.close(), rm(directory, {recursive: true})]);
		},
	};
};
