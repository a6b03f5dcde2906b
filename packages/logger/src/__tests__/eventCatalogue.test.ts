import {readdirSync, readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {eventAreas, formatEventPage, numbersPerArea} from '../eventCatalogue.js';
import type {EventDefinition} from '../eventDefinition.js';

const allEvents = eventAreas.flatMap(area => Object.values(area.events));

test.each(eventAreas)('the events of $name have numbers in the range of that area', ({firstNumber, events}) => {
	const outside = Object.values(events).filter(({number}) => number < firstNumber || number >= firstNumber + numbersPerArea);
	expect(outside).toEqual([]);
});

test.each(['number', 'name'] as const)('no two events share a %s', key => {
	const values = allEvents.map(event => event[key]);
	expect(values.filter((value, index) => values.indexOf(value) !== index)).toEqual([]);
});

test('every event module is in the catalogue', async () => {
	const eventsDirectory = new URL('../events/', import.meta.url);
	const modules = await Promise.all(readdirSync(eventsDirectory).map(async file => import(new URL(file, eventsDirectory).href) as Promise<Record<string, Record<string, EventDefinition>>>));
	const defined = modules.flatMap(module => Object.values(module)).flatMap(events => Object.values(events));
	expect(new Set(allEvents)).toEqual(new Set(defined));
});

test('every event has a meaning', () => {
	expect(allEvents.filter(({meaning}) => meaning.length < 10)).toEqual([]);
});

test('docs/LOG-EVENTS.md is up to date; if not, run npm run docs', () => {
	expect(readFileSync(new URL('../../../../docs/LOG-EVENTS.md', import.meta.url), 'utf8')).toBe(formatEventPage());
});
