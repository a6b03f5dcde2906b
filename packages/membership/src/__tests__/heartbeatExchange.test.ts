import {expect, test} from 'vitest';
import {addressOf, createWire, type Node} from './exchangeFixture.js';

const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

const healthOf = (nodes: readonly Node[], id: string) => [...new Set(nodes
	.filter(node => node.id !== id)
	.map(node => node.view(id)?.health))];

test('a change reaches every member before the next round', () => {
	const wire = createWire();
	const nodes = wire.addAll(ids);
	nodes[0]!.self.setState('leaving');
	nodes[0]!.exchange.announce();
	wire.deliver();
	expect(nodes.slice(1).map(node => node.view('a')?.state)).toEqual(ids.slice(1).map(() => 'leaving'));
});

test('a newcomer is known everywhere soon after its first contact', () => {
	const wire = createWire();
	const nodes = wire.addAll(ids);
	const newcomer = wire.add('new');
	newcomer.exchange.round([addressOf('c')]);
	wire.deliver();
	wire.run(2);
	expect(nodes.map(node => node.view('new')?.health)).toEqual(ids.map(() => 'alive'));
});

test('a dead member is suspect everywhere after a few rounds, and nobody else is', () => {
	const wire = createWire();
	const nodes = wire.addAll(ids);
	wire.run(5);
	wire.setLoss((from, to) => from === 'a' || to === 'a');
	wire.run(12, node => node.id !== 'a');
	expect(healthOf(nodes, 'a')).toEqual(['suspect']);
	for (const id of ids.slice(1)) {
		expect(healthOf(nodes.slice(1), id)).toEqual(['alive']);
	}
});

test('a paused member comes back at once when it resumes, and suspects nobody for its own silence', () => {
	const wire = createWire();
	const nodes = wire.addAll(ids);
	wire.run(5);
	wire.setLoss((_, to) => to === 'a');
	wire.run(60, node => node.id !== 'a');
	expect(healthOf(nodes, 'a')).toEqual(['suspect']);
	wire.setLoss(() => false);
	wire.run(2);
	expect(healthOf(nodes, 'a')).toEqual(['alive']);
	for (const id of ids.slice(1)) {
		expect(nodes[0]!.view(id)?.health).toBe('alive');
	}
});

test('a member that one peer can\'t hear stays alive, as others hear it', () => {
	const wire = createWire();
	const nodes = wire.addAll(ids);
	wire.setLoss((from, to) => from === 'a' && to === 'b');
	let suspectRounds = 0;
	for (let round = 0; round < 600; round++) {
		wire.run(1);
		suspectRounds += nodes.slice(1).filter(node => node.view('a')?.health === 'suspect').length;
	}

	expect(suspectRounds).toBe(0);
});

test('a false suspicion is refuted by the member itself', () => {
	const wire = createWire();
	const nodes = wire.addAll(ids);
	wire.run(3);
	const {sequence, member} = nodes[1]!.table.get('a')!;
	nodes[1]!.exchange.receive({
		from: addressOf('c'),
		heartbeat: {kind: 'news', sender: nodes[2]!.self.beat(), beats: [{...member, sequence: sequence + 1, health: 'suspect'}]},
	});
	expect(nodes[1]!.view('a')?.health).toBe('suspect');
	wire.deliver();
	wire.run(3);
	expect(healthOf(nodes, 'a')).toEqual(['alive']);
});

test('regions that lose each other for an hour suspect each other and are whole again soon after', () => {
	const wire = createWire();
	const nodes = wire.addAll(ids);
	const isSouth = (id: string) => id < 'e';
	wire.run(5);
	wire.setLoss((from, to) => isSouth(from) !== isSouth(to));
	wire.run(3600);
	expect(nodes[0]!.view('h')?.health).toBe('suspect');
	expect(nodes[0]!.view('b')?.health).toBe('alive');
	nodes[7]!.self.setConfigurationVersion(9);
	nodes[7]!.exchange.announce();
	wire.deliver();
	expect(nodes[0]!.view('h')?.configurationVersion).toBe(0);
	wire.setLoss(() => false);
	wire.run(10);
	for (const id of ids) {
		expect(healthOf(nodes, id)).toEqual(['alive']);
	}

	expect(nodes[0]!.view('h')?.configurationVersion).toBe(9);
});

test('a process that was paused while another took its id over yields to it', () => {
	const wire = createWire();
	const [former] = wire.addAll(ids);
	wire.run(120);
	const successor = wire.add('a', 2);
	successor.exchange.round([addressOf('b')]);
	wire.deliver();
	wire.run(3);
	expect(wire.nodes.get('b')!.view('a')?.incarnation).toBe(2);
	former!.exchange.receive({from: addressOf('b'), heartbeat: {kind: 'news', sender: wire.nodes.get('b')!.self.beat(), beats: [successor.self.beat()]}});
	expect(former!.isSuperseded()).toBe(true);
	expect(successor.isSuperseded()).toBe(false);
});

test('a process whose clock went back counts on from its former self', () => {
	const wire = createWire();
	const nodes = wire.addAll(ids);
	wire.run(3);
	const restarted = wire.add('a', 0);
	restarted.exchange.round([addressOf('b')]);
	wire.deliver();
	wire.run(2);
	expect(restarted.self.member().incarnation).toBe(2);
	expect(nodes.slice(1).map(node => node.view('a')?.incarnation)).toEqual(ids.slice(1).map(() => 2));
});

test('all members are replaced one after another, and all who stay see the same', () => {
	const wire = createWire();
	wire.addAll(ids);
	for (const id of ids) {
		const leaving = wire.nodes.get(id)!;
		leaving.self.setState('leaving');
		leaving.exchange.announce();
		wire.deliver();
		wire.nodes.delete(id);
		const replacement = wire.add(`${id}2`);
		const contact = [...wire.nodes.keys()].find(other => other !== `${id}2`)!;
		replacement.exchange.round([addressOf(contact)]);
		wire.deliver();
		replacement.self.setState('serving');
		replacement.exchange.announce();
		wire.run(20);
	}

	for (const node of wire.nodes.values()) {
		const serving = [...node.table.known().values()].filter(({member}) => member.health === 'alive').map(({member}) => member.id);
		expect([...serving, node.id].toSorted()).toEqual(ids.map(id => `${id}2`));
	}
});

test('many members that change at once are all known within some rounds', () => {
	const wire = createWire();
	const nodes = wire.addAll(Array.from({length: 40}, (_, index) => `member-with-a-long-name-${index}`));
	for (const node of nodes) {
		node.self.setState('serving');
		node.exchange.announce();
	}

	wire.deliver();
	wire.run(20);
	expect(nodes.every(node => [...node.table.known().values()].every(({member}) => member.state === 'serving'))).toBe(true);
});
