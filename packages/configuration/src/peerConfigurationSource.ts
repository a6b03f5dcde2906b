/**
 * What peers know of the configuration, as the follower asks them.
 */
import type {ResultAsync} from 'neverthrow';
import type {Observable} from 'rxjs';

/** A failed question to peers. */
export type PeerFetchError = {
	readonly kind: 'unavailable';
	readonly detail: string;
};

/** Peers as a source of configurations. Each function has its own time limit. */
export type PeerConfigurationSource = {
	/** The highest version that any live peer announces, on subscription and after each change; 0 for none. */
	readonly announced: Observable<number>;
	/** The highest head among the peers, as `formatHead` prints it; `undefined` if they answer and have none. */
	readonly fetchHead: () => ResultAsync<string | undefined, PeerFetchError>;
	/** A part by its content hash, from a near peer first; `undefined` if those asked do not have it. */
	readonly fetchPart: (hash: string) => ResultAsync<string | undefined, PeerFetchError>;
};
