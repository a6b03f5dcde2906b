import {expect, test} from 'vitest';
import {silentLogger} from '@filbertwell/logger/logger';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Drain, Endpoint, Intent} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import {createManualClock} from '@filbertwell/utils/clock';
import {createSteering} from '../createSteering.js';

const regions = ['north', 'south'].map(name => ({name, availabilityZones: [`${name}-a`, `${name}-b`]}));
const endpoints: Endpoint[] = regions.flatMap(({availabilityZones}) => availabilityZones.map((availabilityZone, index) => ({
	id: `e-${availabilityZone}`, host: '127.0.0.1', port: index + 1, availabilityZone, slots: 4,
})));

const createIntent = (drains: Drain[] = []): Intent => ({
	deployment: 'test',
	regions,
	services: [{
		name: 'browse', pathPrefix: '/browse', hosts: [], endpoints, routes: [], maximumBodyBytes: 1,
	}],
	regionShares: [],
	linkCaps: [],
	shiftCaps: {plannedSharePerMinute: 0.6, failoverSharePerMinute: 6},
	drains,
	shifts: [],
	sites: [],
	sitePreferences: [],
	clientBlocks: [],
	lookups: {lifetimeSeconds: 1, addresses: 1, defaultPreference: ''},
	tenants: [],
});

const configuration = (version: number, intent: Intent): Configuration => ({
	version, changeId: String(version), author: 'test', acceptedAt: '', intent,
});

const drainSouth = configuration(2, createIntent([{
	target: 'region', name: 'south', pace: 'capped', reason: 'test',
}]));

const start = (region: string, peerSplits: Parameters<typeof createSteering>[0]['peerSplits'] = []) => {
	const clock = createManualClock();
	const members: Member[] = [];
	const steering = createSteering({
		region, clock: clock.now, log: silentLogger, members: () => members, peerSplits,
	});
	const run = (seconds: number) => {
		for (let step = 0; step < seconds * 4; step += 1) {
			clock.advance(250);
			steering.step();
		}
	};

	const shareInSouth = () => steering.splits()
		.find(split => split.region === region)!.shares
		.filter(({availabilityZone}) => availabilityZone.startsWith('south'))
		.reduce((sum, {share}) => sum + share, 0);
	return {
		steering, run, shareInSouth, advance: clock.advance,
	};
};

test('a capped drain moves at most the planned share per minute', () => {
	const entry = start('south');
	entry.steering.configure(configuration(1, createIntent()));
	entry.run(5);
	entry.steering.configure(drainSouth);
	entry.run(60);
	expect(1 - entry.shareInSouth()).toBeGreaterThan(0.5);
	expect(1 - entry.shareInSouth()).toBeLessThanOrEqual(0.6);
});

test('after a pause of the process, a step applies at most the longest time of one step', () => {
	const entry = start('south');
	entry.steering.configure(configuration(1, createIntent()));
	entry.steering.configure(drainSouth);
	entry.run(1);
	const before = entry.shareInSouth();
	entry.advance(3_600_000);
	entry.steering.step();
	expect(before - entry.shareInSouth()).toBeLessThanOrEqual(0.6 / 120);
});

test.each([
	['of its own region', 'south'],
	['of another region, which has a replica of the split', 'north'],
])('an entry that starts during a drain resumes from the split of a peer %s', (_name, peerRegion) => {
	const peer = start(peerRegion);
	peer.steering.configure(configuration(1, createIntent()));
	peer.steering.configure(drainSouth);
	peer.run(30);
	const entry = start('south', peer.steering.splits());
	entry.steering.configure(drainSouth);
	expect(entry.shareInSouth()).toBeGreaterThan(0.69);
	expect(entry.shareInSouth()).toBeLessThan(0.74);
});

test('entries of a new deployment keep traffic in their own regions, whichever starts first', () => {
	const first = start('north');
	first.steering.configure(configuration(1, createIntent()));
	const second = start('south', first.steering.splits());
	second.steering.configure(configuration(1, createIntent()));
	expect(second.shareInSouth()).toBeCloseTo(1);
});

const failZones = (entry: ReturnType<typeof start>, zones: readonly string[]) => {
	entry.steering.observe(zones.map(availabilityZone => ({
		service: 'browse', availabilityZone, headroom: 1, failed: true, latencyRatio: 1,
	})));
};

const chooseMany = (entry: ReturnType<typeof start>) => Array.from({length: 200}, (_, index) => entry.steering.chooseZone('browse', index % 2 === 0 ? 'critical' : 'background'));

test('no request is refused for a failed zone while another zone of its region serves', () => {
	const entry = start('south');
	entry.steering.configure(configuration(1, createIntent()));
	failZones(entry, ['south-a']);
	expect(chooseMany(entry).filter(choice => choice.kind !== 'zone')).toHaveLength(0);
});

test('no zone of a failed region is chosen, and requests that no zone takes yet are refused from the lowest class up', () => {
	const entry = start('south');
	entry.steering.configure(configuration(1, createIntent()));
	failZones(entry, ['south-a', 'south-b']);
	entry.run(5);
	const choices = chooseMany(entry);
	expect(choices.filter(choice => choice.kind === 'zone' && choice.availabilityZone.startsWith('south'))).toHaveLength(0);
	expect(choices.filter((choice, index) => index % 2 === 0 && choice.kind === 'refused').length).toBeLessThan(30);
	expect(choices.filter((choice, index) => index % 2 === 1 && choice.kind === 'refused').length).toBeGreaterThan(70);
});

test('a zone without headroom gains no traffic until several samples show headroom', () => {
	const entry = start('south');
	entry.steering.configure(configuration(1, createIntent()));
	entry.steering.configure(drainSouth);
	const observeHeadroom = (seconds: number, headroom: number) => {
		for (let second = 0; second < seconds; second += 1) {
			entry.steering.observe(['north-a', 'north-b'].map(availabilityZone => ({
				service: 'browse', availabilityZone, headroom, failed: false, latencyRatio: 1,
			})));
			entry.run(1);
		}
	};

	observeHeadroom(10, 0.1);
	expect(entry.shareInSouth()).toBeCloseTo(1);
	expect(entry.steering.progress()[0]).toMatchObject({heldBy: 'headroom'});
	observeHeadroom(1, 0.9);
	expect(entry.shareInSouth()).toBeCloseTo(1);
	observeHeadroom(10, 0.5);
	expect(entry.shareInSouth()).toBeLessThan(0.95);
});
