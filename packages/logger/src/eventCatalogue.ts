/**
 * All log events by area, and the page docs/LOG-EVENTS.md.
 */
import type {EventDefinition} from './eventDefinition.js';
import {configurationEvents} from './events/configurationEvents.js';
import {discoveryEvents} from './events/discoveryEvents.js';
import {entryEvents} from './events/entryEvents.js';
import {gatewayEvents} from './events/gatewayEvents.js';
import {membershipEvents} from './events/membershipEvents.js';
import {ordersEvents} from './events/ordersEvents.js';
import {platformEvents} from './events/platformEvents.js';
import {processEvents} from './events/processEvents.js';
import {routingEvents} from './events/routingEvents.js';
import {standinsEvents} from './events/standinsEvents.js';
import {steeringEvents} from './events/steeringEvents.js';

/** The events of one area and the numbers that it may use. */
export type EventArea = {
	readonly name: string;
	/** First number of the area. */
	readonly first: number;
	readonly events: Readonly<Record<string, EventDefinition>>;
};

/** Numbers in each area. */
export const numbersPerArea = 1000;

/** All areas, by number. */
export const eventAreas: readonly EventArea[] = [
	{name: 'Process', first: 1000, events: processEvents},
	{name: 'Configuration', first: 2000, events: configurationEvents},
	{name: 'Platform', first: 3000, events: platformEvents},
	{name: 'Membership', first: 4000, events: membershipEvents},
	{name: 'Steering', first: 5000, events: steeringEvents},
	{name: 'Routing', first: 6000, events: routingEvents},
	{name: 'Orders', first: 7000, events: ordersEvents},
	{name: 'Entry', first: 8000, events: entryEvents},
	{name: 'Stand-ins', first: 9000, events: standinsEvents},
	{name: 'Discovery', first: 10_000, events: discoveryEvents},
	{name: 'Gateway', first: 11_000, events: gatewayEvents},
];

const cell = (text: string) => text.replaceAll('|', String.raw`\|`);

const formatEvent = ({number, name, level, meaning}: EventDefinition): string => `| ${number} | \`${name}\` | ${level} | ${cell(meaning)} |`;

const formatArea = ({name, first, events}: EventArea): string[] => {
	const definitions = Object.values(events).toSorted((a, b) => a.number - b.number);
	const rows = definitions.length === 0
		? ['No events yet.']
		: ['| number | name | level | meaning |', '| --- | --- | --- | --- |', ...definitions.map(definition => formatEvent(definition))];
	return [`## ${name} (${first} to ${first + numbersPerArea - 1})`, '', ...rows, ''];
};

/**
 * Formats the catalogue page.
 *
 * @returns The page in Markdown.
 */
export const formatEventPage = (): string => [
	'# Log events',
	'',
	'Written by `npm run docs` from `packages/logger/src/events`; don\'t edit it by hand.',
	'',
	'Each line is one JSON object with `event` (the number), `level`, `name` and the fields of the event, under the',
	'`debug` namespace `filbertwell:<component>`. Select components by `DEBUG=filbertwell:*` or by `[log] namespaces`',
	'in the settings. A number never changes its meaning and is never used again.',
	'',
	...eventAreas.flatMap(area => formatArea(area)),
].join('\n');
