/**
 * Interface of the platform's list of live and leaving instances. The list may lag behind the actual
 * state.
 */
import type {ResultAsync} from 'neverthrow';
import type {PlatformError} from './platformError.js';

/** State of an instance; `leaving`: the platform is about to remove it. */
export type InstanceState = 'live' | 'leaving';

/** Kind of process that an instance runs. */
export type InstanceKind = 'entry' | 'lookup' | 'upstream';

/** An entry of the platform's instance list. */
export type ListedInstance = {
	/** Entry id or endpoint id. */
	readonly id: string;
	readonly kind: InstanceKind;
	readonly host: string;
	/** Peer port of an entry or service port of an upstream. */
	readonly port: number;
	readonly availabilityZone: string;
	readonly state: InstanceState;
};

/** The instance list. */
export type InstanceList = {
	readonly list: () => ResultAsync<readonly ListedInstance[], PlatformError>;
	readonly register: (instance: ListedInstance) => ResultAsync<void, PlatformError>;
	readonly deregister: (id: string) => ResultAsync<void, PlatformError>;
};
