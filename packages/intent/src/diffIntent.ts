/**
 * Diff of two intents. Items of lists are matched by name or another key, not by index.
 */
import type {Intent} from '@filbertwell/types/intent';
import {formatValue} from './intentProblem.js';

/** Kind of a change. `reordered` is reported for routes only, because the first matching route is used. */
export type IntentChangeKind = 'added' | 'removed' | 'changed' | 'reordered';

/** One change between two intents. */
export type IntentChange = {
	readonly kind: IntentChangeKind;
	/** Path with the items' identities in place of indices, such as `services.orders.endpoints.orders-03.slots`. */
	readonly path: string;
	readonly before: unknown;
	readonly after: unknown;
};

type Item = Readonly<Record<string, unknown>>;

/** Functions that return the identity of an item, by the key of the list that holds it. */
const itemIdentities: Readonly<Record<string, (item: Item) => string>> = {
	regions: item => String(item.name),
	services: item => String(item.name),
	endpoints: item => String(item.id),
	routes: item => String(item.name),
	regionShares: item => `${String(item.region)}/${String(item.service)}`,
	linkCaps: item => (item.between as readonly string[]).toSorted().join('/'),
	drains: item => `${String(item.target)}/${String(item.name)}`,
	shifts: item => `${String(item.service)}/${String(item.region)}`,
	sites: item => String(item.name),
	sitePreferences: item => String(item.name),
	clientBlocks: item => String(item.prefix),
	tenants: item => String(item.name),
};

const isObject = (value: unknown): value is Item => typeof value === 'object' && value !== null && !Array.isArray(value);

const joinPath = (path: string, key: string) => path === '' ? key : `${path}.${key}`;

const indexByIdentity = (items: readonly Item[], identity: (item: Item) => string) => new Map(items.map(item => [identity(item), item]));

const diffLists = (path: string, key: string, before: readonly Item[], after: readonly Item[]): IntentChange[] => {
	const identity = itemIdentities[key]!;
	const beforeItems = indexByIdentity(before, identity);
	const afterItems = indexByIdentity(after, identity);
	const changes: IntentChange[] = [];
	for (const [name, item] of beforeItems) {
		if (!afterItems.has(name)) {
			changes.push({
				kind: 'removed', path: joinPath(path, name), before: item, after: undefined,
			});
		}
	}

	for (const [name, item] of afterItems) {
		const previous = beforeItems.get(name);
		if (previous === undefined) {
			changes.push({
				kind: 'added', path: joinPath(path, name), before: undefined, after: item,
			});
		} else {
			changes.push(...diffValues(joinPath(path, name), '', previous, item));
		}
	}

	if (key === 'routes') {
		changes.push(...diffOrder(path, [...beforeItems.keys()], [...afterItems.keys()]));
	}

	return changes;
};

const diffOrder = (path: string, before: readonly string[], after: readonly string[]): IntentChange[] => {
	const keptBefore = before.filter(name => after.includes(name));
	const keptAfter = after.filter(name => before.includes(name));
	return keptBefore.join('\n') === keptAfter.join('\n')
		? []
		: [{
			kind: 'reordered', path, before: keptBefore, after: keptAfter,
		}];
};

const isItemList = (value: unknown): value is readonly Item[] => Array.isArray(value) && value.every(item => isObject(item));

const diffValues = (path: string, key: string, before: unknown, after: unknown): IntentChange[] => {
	if (before === after) {
		return [];
	}

	if (Object.hasOwn(itemIdentities, key) && isItemList(before) && isItemList(after)) {
		return diffLists(path, key, before, after);
	}

	if (isObject(before) && isObject(after)) {
		const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
		return keys.flatMap(childKey => diffValues(joinPath(path, childKey), childKey, before[childKey], after[childKey]));
	}

	return JSON.stringify(before) === JSON.stringify(after)
		? []
		: [{
			kind: 'changed', path, before, after,
		}];
};

/**
 * Compares two intents.
 *
 * @param before - The intent before the change.
 * @param after - The intent after the change.
 * @returns The changes; empty if the intents are equal apart from the order of items other than routes.
 */
export const diffIntent = (before: Intent, after: Intent): IntentChange[] => diffValues('', '', before, after);

/**
 * Formats a change as a line of text.
 *
 * @param change - The change.
 * @returns One line that starts with `+` (added), `-` (removed) or `~` (changed or reordered).
 */
export const formatIntentChange = ({kind, path, before, after}: IntentChange): string => {
	switch (kind) {
		case 'added': {
			return `+ ${path} ${formatValue(after)}`;
		}

		case 'removed': {
			return `- ${path} ${formatValue(before)}`;
		}

		case 'changed': {
			return `~ ${path}: ${formatValue(before)} -> ${formatValue(after)}`;
		}

		case 'reordered': {
			return `~ ${path}: order ${formatValue(before)} -> ${formatValue(after)}`;
		}
	}
};
