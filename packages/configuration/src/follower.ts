/**
 * The configuration in force at this process.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {Observable} from 'rxjs';

/** Follows the accepted configuration; the version in force only rises. */
export type ConfigurationFollower = {
	/** The configuration in force; `undefined` before the first. */
	readonly current: () => Configuration | undefined;
	/** Emits the one in force on subscription, if there is one, and each later one. */
	readonly inForce: Observable<Configuration>;
	readonly stop: () => Promise<void>;
};
