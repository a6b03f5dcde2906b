import {silentLogger} from '@filbertwell/logger/logger';
import type {EventDefinition} from '@filbertwell/logger/eventDefinition';
import type {Fault} from '@filbertwell/platform/faultPlan';
import {createMemoryPlatform, type MemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import type {Intent} from '@filbertwell/types/intent';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {errAsync, okAsync} from 'neverthrow';
import {BehaviorSubject} from 'rxjs';
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {acceptConfiguration, type Acceptance} from '../acceptConfiguration.js';
import {createFollower, type FollowerOptions} from '../createFollower.js';
import type {ConfigurationFollower} from '../follower.js';
import {formatHead, headKey, parseHead} from '../head.js';
import {createOffer, parseOffer} from '../offer.js';
import {hashOfReference, partKey} from '../partReference.js';
import type {PeerConfigurationSource} from '../peerConfigurationSource.js';
import {drainedIntent, sampleBlocks, sampleIntent} from './sampleIntent.js';

const platformOutage: readonly Fault[] = [{target: 'table', kind: 'down'}, {target: 'objects', kind: 'down'}];

let platform: MemoryPlatform;
let followers: ConfigurationFollower[] = [];
beforeEach(() => {
	platform = createMemoryPlatform();
});
afterEach(async () => {
	await Promise.all(followers.map(async follower => follower.stop()));
	followers = [];
});

const accept = async (expectedVersion: number, intent: Intent = drainedIntent(`change ${expectedVersion + 1}`)): Promise<Acceptance> => {
	const result = await acceptConfiguration({
		platform, intent, expectedVersion, changeId: `change-${expectedVersion + 1}`, author: 'ana', acceptedAt: '',
	});
	return result._unsafeUnwrap();
};

const noPeers: PeerConfigurationSource = {
	announcedVersion: new BehaviorSubject(0),
	fetchHead: () => okAsync(undefined),
	fetchPart: () => okAsync(undefined),
};

const start = (changes: Partial<FollowerOptions> = {}): ConfigurationFollower => {
	const follower = createFollower({
		platform, clock: monotonicClock, random: createRandom(1), log: silentLogger, peers: noPeers, isPoller: () => true, pollMs: 5, backstopMs: 60_000, ...changes,
	});
	followers.push(follower);
	return follower;
};

/** A peer that serves the configuration of another follower. */
const createPeerOf = (other: ConfigurationFollower): PeerConfigurationSource => {
	const announcedVersion = new BehaviorSubject(other.head()?.version ?? 0);
	other.inForce.subscribe(configuration => {
		announcedVersion.next(configuration.version);
	});
	return {
		announcedVersion,
		fetchHead() {
			const head = other.head();
			return okAsync(head === undefined ? undefined : formatHead(head));
		},
		fetchPart: hash => okAsync(other.part(hash)),
	};
};

const waitForVersion = async (follower: ConfigurationFollower, version: number) => {
	await vi.waitFor(() => {
		expect(follower.current()?.version).toBe(version);
	}, {timeout: 10_000, interval: 5});
};

/** Creates a logger that records the names of events. */
const recordEvents = () => {
	const names: string[] = [];
	return {
		names,
		log(event: EventDefinition) {
			names.push(event.name);
		},
	};
};

const waitForEvent = async (names: readonly string[], name: string) => {
	await vi.waitFor(() => {
		expect(names).toContain(name);
	}, {timeout: 10_000, interval: 5});
};

test('each accepted version is put in force completely and in order', async () => {
	const follower = start();
	const versions: number[] = [];
	follower.inForce.subscribe(configuration => {
		versions.push(configuration.version);
	});
	await accept(0);
	await waitForVersion(follower, 1);
	const second = {...drainedIntent('x'), clientBlocks: sampleBlocks(3000)};
	await accept(1, second);
	await waitForVersion(follower, 2);
	expect(follower.current()?.intent).toEqual(second);
	expect(versions).toEqual([1, 2]);
});

test('unchanged client blocks are reused instead of being fetched and parsed again', async () => {
	const blocks = sampleBlocks(5000);
	await accept(0, {...sampleIntent, clientBlocks: blocks});
	const follower = start();
	await waitForVersion(follower, 1);
	const before = follower.current()!.intent.clientBlocks;
	await accept(1, {...sampleIntent, clientBlocks: blocks.with(2500, {...blocks[2500]!, preference: 'other'})});
	await waitForVersion(follower, 2);
	const after = follower.current()!.intent.clientBlocks;
	expect(after[2500]).toMatchObject({preference: 'other'});
	expect(after.filter((block, index) => block !== before[index]).length).toBeLessThan(1000);
});

test('a process that does not poll learns of a version from its peer and fetches all parts from it', async () => {
	await accept(0);
	const poller = start();
	await waitForVersion(poller, 1);
	const listener = start({peers: createPeerOf(poller), isPoller: () => false});
	await waitForVersion(listener, 1);
	await accept(1);
	await waitForVersion(poller, 2);
	platform.setFaults(platformOutage);
	await waitForVersion(listener, 2);
});

test('during an outage of the platform a newer version spreads from peer to peer and to restarted processes', async () => {
	await accept(0);
	const first = start();
	const second = start({peers: createPeerOf(first)});
	await waitForVersion(second, 1);
	const {head, newParts} = await accept(1);
	platform.setFaults(platformOutage);
	await first.stop();
	const third = start({peers: createPeerOf(second)});
	const offer = parseOffer(JSON.stringify(createOffer({head, newParts})));
	second.offer(offer._unsafeUnwrap().head, offer._unsafeUnwrap().parts);
	await waitForVersion(second, 2);
	await waitForVersion(third, 2);
	const restarted = start({peers: createPeerOf(third)});
	await waitForVersion(restarted, 2);
});

test('an offer is rejected unless it is well formed and higher', async () => {
	const {head} = await accept(0);
	const follower = start();
	await waitForVersion(follower, 1);
	expect(follower.offer(formatHead(head), [])).toBe(false);
	expect(follower.offer('{}', [])).toBe(false);
	expect(follower.offer('', [])).toBe(false);
	expect(follower.offer(formatHead({...head, version: 9}), [])).toBe(true);
});

test('an offered head whose parts do not exist does not block an accepted version', async () => {
	const {head} = await accept(0);
	const follower = start();
	await waitForVersion(follower, 1);
	follower.offer(formatHead({...head, version: 99, manifest: `0/${'0'.repeat(64)}`}), []);
	await accept(1);
	await waitForVersion(follower, 2);
});

test('a process without peers that starts during an outage loads the configuration after it', async () => {
	await accept(0);
	platform.setFaults(platformOutage);
	const {names, log} = recordEvents();
	const follower = start({log});
	await waitForEvent(names, 'configurationStoreUnreachable');
	expect(follower.current()).toBeUndefined();
	platform.setFaults([]);
	await waitForVersion(follower, 1);
	expect(names).toContain('configurationStoreReachable');
});

test('a starting process waits for the version that a peer announces', async () => {
	await accept(0);
	const announcedVersion = new BehaviorSubject(2);
	const {names, log} = recordEvents();
	const follower = start({log, peers: {...noPeers, announcedVersion, fetchHead: () => errAsync({kind: 'unavailable', detail: 'no answer'})}});
	await waitForEvent(names, 'configurationWaitingForHigher');
	expect(follower.current()).toBeUndefined();
	await accept(1);
	await waitForVersion(follower, 2);
});

test('a starting process stops waiting once no peer announces that version', async () => {
	await accept(0);
	const announcedVersion = new BehaviorSubject(2);
	const {names, log} = recordEvents();
	const follower = start({log, peers: {...noPeers, announcedVersion}});
	await waitForEvent(names, 'configurationWaitingForHigher');
	announcedVersion.next(0);
	await waitForVersion(follower, 1);
});

describe('a table restored from a backup', () => {
	const restoredCases = [
		{name: 'a lower version', changes: {version: 1}, event: 'configurationHeadBehind'},
		{name: 'another change under the same version', changes: {version: 2, changeId: 'other'}, event: 'configurationHeadDiffers'},
		{name: 'a head that cannot be parsed', changes: {version: -1}, event: 'configurationHeadMalformed'},
	];

	test.each(restoredCases)('with $name leaves the version in force and is logged', async ({changes, event}) => {
		await accept(0);
		const {head} = await accept(1);
		const {names, log} = recordEvents();
		const follower = start({log});
		await waitForVersion(follower, 2);
		await platform.table.transact({checks: [], writes: [{key: headKey, value: formatHead({...head, ...changes})}]});
		await waitForEvent(names, event);
		expect(follower.current()).toMatchObject({version: 2, changeId: 'change-2'});
	});

	test('does not keep a restarted process from loading the higher version from a peer', async () => {
		const {head} = await accept(0);
		await accept(1);
		const peer = start();
		await waitForVersion(peer, 2);
		await platform.table.transact({checks: [], writes: [{key: headKey, value: formatHead(head)}]});
		const restarted = start({peers: createPeerOf(peer)});
		const versions: number[] = [];
		restarted.inForce.subscribe(configuration => {
			versions.push(configuration.version);
		});
		await waitForVersion(restarted, 2);
		expect(versions).toEqual([2]);
	});
});

type PeerFault = {
	readonly name: string;
	readonly peers: Partial<PeerConfigurationSource>;
};

const peerFaults: readonly PeerFault[] = [
	{name: 'sends corrupt parts', peers: {fetchPart: () => okAsync('garbage')}},
	{name: 'has no parts', peers: {fetchPart: () => okAsync(undefined)}},
	{name: 'does not answer', peers: {fetchPart: () => errAsync({kind: 'unavailable', detail: ''}), fetchHead: () => errAsync({kind: 'unavailable', detail: ''})}},
	{name: 'sends a malformed head', peers: {announcedVersion: new BehaviorSubject(1), fetchHead: () => okAsync('{')}},
	{
		name: 'sends a head of an older version', peers: {
			fetchHead: () => okAsync(formatHead({
				version: 1, changeId: 'old', author: '', acceptedAt: '', manifest: `0/${'a'.repeat(64)}`,
			})),
		},
	},
];

test.each(peerFaults)('a peer that $name does not block an accepted version', async ({peers}) => {
	await accept(0);
	await accept(1);
	const follower = start({peers: {...noPeers, ...peers}});
	await waitForVersion(follower, 2);
	expect(follower.current()?.intent).toEqual(drainedIntent('change 2'));
});

test.each(['missing', 'corrupt'] as const)('with a %s part in the object store the earlier version stays in force until the part is repaired', async kind => {
	await accept(0);
	const {names, log} = recordEvents();
	const view = createMemoryPlatform({state: platform.state});
	const follower = start({log, platform: view});
	await waitForVersion(follower, 1);
	view.setFaults([{target: 'table', kind: 'error'}]);
	const {head} = await accept(1);
	const key = partKey(head.manifest);
	const manifest = platform.state.getObject(key)!;
	if (kind === 'missing') {
		platform.state.removeObject(key);
	} else {
		platform.state.putObject(key, `${manifest} `);
	}

	view.setFaults([]);
	await waitForEvent(names, 'configurationLoadFailed');
	expect(follower.current()?.version).toBe(1);
	platform.state.putObject(key, manifest);
	await waitForVersion(follower, 2);
});

test('the head and the parts that a follower serves to peers match those accepted', async () => {
	const {head, newParts} = await accept(0, {...sampleIntent, clientBlocks: sampleBlocks(2000)});
	const follower = start();
	await waitForVersion(follower, 1);
	expect(parseHead(formatHead(follower.head()!))._unsafeUnwrap()).toEqual(head);
	for (const part of newParts) {
		expect(follower.part(hashOfReference(part.reference))).toBe(part.content);
	}

	expect(follower.part('0'.repeat(64))).toBeUndefined();
});
