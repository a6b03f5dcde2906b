/**
 * Interface of the platform: table, object store and instance list.
 */
import type {InstanceList} from './instanceList.js';
import type {ObjectStore} from './objectStore.js';
import type {Table} from './table.js';

/** The platform's services. Every implementation must pass the contract tests. */
export type Platform = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly instances: InstanceList;
};
