/**
 * The platform's list of live and leaving instances. It lags.
 */
import type {ResultAsync} from 'neverthrow';
import type {PlatformError} from './platformError.js';

/** Whether the platform is about to take an instance away. */
export type InstanceState = 'live' | 'leaving';

/** What an instance is for. */
export type InstanceKind = 'entry' | 'lookup' | 'upstream';

/** An instance as the platform lists it. */
export type ListedInstance = {
	/** Entry id or endpoint id. */
	readonly id: string;
	readonly kind: InstanceKind;
	readonly host: string;
	/** Peer port of an entry, service port of an upstream. */
	readonly port: number;
	readonly availabilityZone: string;
	readonly state: InstanceState;
};

/** The list of instances. */
export type InstanceList = {
	readonly list: () => ResultAsync<readonly ListedInstance[], PlatformError>;
	readonly register: (instance: ListedInstance) => ResultAsync<void, PlatformError>;
	readonly deregister: (id: string) => ResultAsync<void, PlatformError>;
};
