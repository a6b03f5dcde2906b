/**
 * The platform as the rest of the system sees it.
 */
import type {InstanceList} from './instanceList.js';
import type {ObjectStore} from './objectStore.js';
import type {Table} from './table.js';

/** The platform's services. Any adapter passes the contract suite. */
export type Platform = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly instances: InstanceList;
};
