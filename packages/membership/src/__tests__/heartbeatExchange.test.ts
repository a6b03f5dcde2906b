import {expect, test} from 'vitest';
import {addressOf, createTestNetwork, type TestNode} from './exchangeFixture.js';

const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

const healthOf = (nodes: readonly TestNode[], id: string) => [...new Set(nodes
	.filter(node => node.id !== id)
	.map(node => node.view(id)?.health))];

test('a change reaches every member before the next round', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(ids);
	nodes[0]!.self.setState('leaving');
	nodes[0]!.exchange.announce();
	network.deliver();
	expect(nodes.slice(1).map(node => node.view('a')?.state)).toEqual(ids.slice(1).map(() => 'leaving'));
});

test('a new member is known to all members two rounds after its first probe', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(ids);
	const newcomer = network.add('new');
	newcomer.exchange.round([addressOf('c')]);
	network.deliver();
	network.run(2);
	expect(nodes.map(node => node.view('new')?.health)).toEqual(ids.map(() => 'alive'));
});

test('after twelve rounds all members suspect a stopped member, and no other one', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(ids);
	network.run(5);
	network.setLoss((from, to) => from === 'a' || to === 'a');
	network.run(12, node => node.id !== 'a');
	expect(healthOf(nodes, 'a')).toEqual(['suspect']);
	for (const id of ids.slice(1)) {
		expect(healthOf(nodes.slice(1), id)).toEqual(['alive']);
	}
});

test('a paused member is alive again two rounds after it resumes, and does not suspect others because of its own pause', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(ids);
	network.run(5);
	network.setLoss((_, to) => to === 'a');
	network.run(60, node => node.id !== 'a');
	expect(healthOf(nodes, 'a')).toEqual(['suspect']);
	network.setLoss(() => false);
	network.run(2);
	expect(healthOf(nodes, 'a')).toEqual(['alive']);
	for (const id of ids.slice(1)) {
		expect(nodes[0]!.view(id)?.health).toBe('alive');
	}
});

test('a member whose messages do not reach one peer stays alive, because they reach the others', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(ids);
	network.setLoss((from, to) => from === 'a' && to === 'b');
	let suspectRounds = 0;
	for (let round = 0; round < 600; round++) {
		network.run(1);
		suspectRounds += nodes.slice(1).filter(node => node.view('a')?.health === 'suspect').length;
	}

	expect(suspectRounds).toBe(0);
});

test('a false suspicion is refuted by the member itself', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(ids);
	network.run(3);
	const {sequence, member} = nodes[1]!.table.get('a')!;
	nodes[1]!.exchange.receive({
		from: addressOf('c'),
		heartbeat: {kind: 'news', sender: nodes[2]!.self.beat(), beats: [{...member, sequence: sequence + 1, health: 'suspect'}]},
	});
	expect(nodes[1]!.view('a')?.health).toBe('suspect');
	network.deliver();
	network.run(3);
	expect(healthOf(nodes, 'a')).toEqual(['alive']);
});

test('regions that are partitioned for an hour suspect each other and recover within ten rounds', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(ids);
	const isSouth = (id: string) => id < 'e';
	network.run(5);
	network.setLoss((from, to) => isSouth(from) !== isSouth(to));
	network.run(3600);
	expect(nodes[0]!.view('h')?.health).toBe('suspect');
	expect(nodes[0]!.view('b')?.health).toBe('alive');
	nodes[7]!.self.setConfigurationVersion(9);
	nodes[7]!.exchange.announce();
	network.deliver();
	expect(nodes[0]!.view('h')?.configurationVersion).toBe(0);
	network.setLoss(() => false);
	network.run(10);
	for (const id of ids) {
		expect(healthOf(nodes, id)).toEqual(['alive']);
	}

	expect(nodes[0]!.view('h')?.configurationVersion).toBe(9);
});

test('a process that was paused while another took over its id yields to it', () => {
	const network = createTestNetwork();
	const [predecessor] = network.addAll(ids);
	network.run(120);
	const successor = network.add('a', 2);
	successor.exchange.round([addressOf('b')]);
	network.deliver();
	network.run(3);
	expect(network.nodes.get('b')!.view('a')?.incarnation).toBe(2);
	predecessor!.exchange.receive({from: addressOf('b'), heartbeat: {kind: 'news', sender: network.nodes.get('b')!.self.beat(), beats: [successor.self.beat()]}});
	expect(predecessor!.isSuperseded()).toBe(true);
	expect(successor.isSuperseded()).toBe(false);
});

test('a process whose clock went back raises its incarnation above that of its predecessor', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(ids);
	network.run(3);
	const restarted = network.add('a', 0);
	restarted.exchange.round([addressOf('b')]);
	network.deliver();
	network.run(2);
	expect(restarted.self.member().incarnation).toBe(2);
	expect(nodes.slice(1).map(node => node.view('a')?.incarnation)).toEqual(ids.slice(1).map(() => 2));
});

test('after all members were replaced one after another, the replacements have the same view', () => {
	const network = createTestNetwork();
	network.addAll(ids);
	for (const id of ids) {
		const leaving = network.nodes.get(id)!;
		leaving.self.setState('leaving');
		leaving.exchange.announce();
		network.deliver();
		network.nodes.delete(id);
		const replacement = network.add(`${id}2`);
		const contact = [...network.nodes.keys()].find(other => other !== `${id}2`)!;
		replacement.exchange.round([addressOf(contact)]);
		network.deliver();
		replacement.self.setState('serving');
		replacement.exchange.announce();
		network.run(20);
	}

	for (const node of network.nodes.values()) {
		const serving = [...node.table.known().values()].filter(({member}) => member.health === 'alive').map(({member}) => member.id);
		expect([...serving, node.id].toSorted()).toEqual(ids.map(id => `${id}2`));
	}
});

test('simultaneous changes of many members reach all members within twenty rounds', () => {
	const network = createTestNetwork();
	const nodes = network.addAll(Array.from({length: 40}, (_, index) => `member-with-a-long-name-${index}`));
	for (const node of nodes) {
		node.self.setState('serving');
		node.exchange.announce();
	}

	network.deliver();
	network.run(20);
	expect(nodes.every(node => [...node.table.known().values()].every(({member}) => member.state === 'serving'))).toBe(true);
});
