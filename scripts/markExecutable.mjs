/**
 * Makes the built programs executable, since the compiler writes plain files: `npx filbertwell` runs them.
 */
import {
	chmodSync, existsSync, readFileSync, readdirSync,
} from 'node:fs';

const executableMode = 0o755;

for (const name of readdirSync('packages')) {
	const {bin = {}} = JSON.parse(readFileSync(`packages/${name}/package.json`, 'utf8'));
	for (const file of Object.values(bin).map(relative => `packages/${name}/${relative}`)) {
		if (existsSync(file)) {
			chmodSync(file, executableMode);
		}
	}
}
