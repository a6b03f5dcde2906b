import {createMemoryPlatform} from '../memoryPlatform.js';
import {describePlatformContract} from './platformContract.js';

describePlatformContract('memory', async () => {
	const platform = createMemoryPlatform();
	return {
		platform, setFaults: platform.setFaults, async close() {
			platform.setFaults([]);
		},
	};
});
