/**
 * Interface through which the follower fetches configurations from peers.
 */
import type {ResultAsync} from 'neverthrow';
import type {Observable} from 'rxjs';

/** Error of a failed request to peers. */
export type PeerFetchError = {
	readonly kind: 'unavailable';
	readonly detail: string;
};

/** Peers as a source of configurations. Each function applies its own timeout. */
export type PeerConfigurationSource = {
	/** Highest version that any live peer announces, emitted on subscription and after each change; 0 for none. */
	readonly announcedVersion: Observable<number>;
	/** Fetches the highest head among the peers, in the format of `formatHead`; `undefined` if they answer but have none. */
	readonly fetchHead: () => ResultAsync<string | undefined, PeerFetchError>;
	/** Fetches a part by its content hash, from nearby peers first; `undefined` if none of the queried peers has it. */
	readonly fetchPart: (hash: string) => ResultAsync<string | undefined, PeerFetchError>;
};
