/**
 * Formats the INI settings of an entry under test.
 */
import type {SocketAddress} from '@filbertwell/types/place';

/** Identity, location and addresses of an entry, and further settings. */
export type EntryPlacement = {
	readonly id: string;
	readonly region: string;
	readonly availabilityZone: string;
	readonly callers: SocketAddress;
	readonly admin: SocketAddress;
	readonly peers: SocketAddress;
	readonly platform: SocketAddress;
	readonly seeds: readonly SocketAddress[];
	/** Further lines such as `[section]` and `key = value`; a later key overrides an earlier one. */
	readonly extraLines: readonly string[];
};

const formatAddress = ({host, port}: SocketAddress): string => `${host}:${port}`;

/**
 * Formats the settings file of an entry.
 *
 * @param placement - Identity, addresses and further lines.
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
	`seeds = ${placement.seeds.map(seed => formatAddress(seed)).join(', ')}`,
	'[platform]',
	`host = ${placement.platform.host}`,
	`port = ${placement.platform.port}`,
	...placement.extraLines,
	'',
].join('\n');
