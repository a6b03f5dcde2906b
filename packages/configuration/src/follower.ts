/**
 * Interface of the configuration that is in force in this process.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {Observable} from 'rxjs';
import type {Head} from './head.js';

/** Follows the accepted configuration. The version in force only increases. */
export type ConfigurationFollower = {
	/** The configuration in force; `undefined` until the first one is loaded. */
	readonly current: () => Configuration | undefined;
	/** Emits the configuration in force on subscription, if there is one, and each later one. */
	readonly inForce: Observable<Configuration>;
	/** Head of the configuration in force, served to peers. */
	readonly head: () => Head | undefined;
	/** Content of a part by its content hash, served to peers; `undefined` if this process does not have it. */
	readonly part: (hash: string) => string | undefined;
	/**
	 * Takes a newly accepted head with some of its parts from the operator's command-line tool or a
	 * peer, so that the change spreads even if the platform fails right after the acceptance.
	 * `head` has the format of `formatHead`. Returns whether the head is well formed and higher
	 * than the version in force and than any earlier offer; it is then loaded asynchronously.
	 */
	readonly offer: (head: string, parts: readonly string[]) => boolean;
	readonly stop: () => Promise<void>;
};
