/**
 * INI settings of an entry under test.
 */
import type {SocketAddress} from '@filbertwell/types/place';

/** What the settings of an entry say. */
export type EntryPlacement = {
	readonly id: string;
	readonly region: string;
	readonly availabilityZone: string;
	readonly callers: SocketAddress;
	readonly admin: SocketAddress;
	readonly peers: SocketAddress;
	readonly platform: SocketAddress;
	readonly seeds: readonly SocketAddress[];
	/** Further lines, as `[section]` and `key = value`; a later key replaces an earlier one. */
	readonly extraLines: readonly string[];
};

const addressText = ({host, port}: SocketAddress): string => `${host}:${port}`;

/**
 * Prints the settings.
 *
 * @param placement - Names and addresses.
 * @returns The text of an INI file.
 */
export const entrySettingsText = (placement: EntryPlacement): string => [
	'[process]',
	`id = ${placement.id}`,
	`region = ${placement.region}`,
	`availabilityZone = ${placement.availabilityZone}`,
	'[callers]',
	`host = ${placement.callers.host}`,
	`port = ${placement.callers.port}`,
	'[admin]',
	`host = ${placement.admin.host}`,
	`port = ${placement.admin.port}`,
	'[peers]',
	`host = ${placement.peers.host}`,
	`port = ${placement.peers.port}`,
	`seeds = ${placement.seeds.map(seed => addressText(seed)).join(', ')}`,
	'[platform]',
	`host = ${placement.platform.host}`,
	`port = ${placement.platform.port}`,
	...placement.extraLines,
	'',
].join('\n');
