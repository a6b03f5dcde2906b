/**
 * Checks the import directions between packages: a package imports only packages that its
 * package.json declares, and declared dependencies point one way along the order below.
 * Prints each offence and exits 1 if there is one.
 */
import {readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';

const packageOrder = [
	'types',
	'utils',
	'logger',
	'metrics',
	'settings',
	'intent',
	'platform',
	'peer-protocol',
	'membership',
	'configuration',
	'steering',
	'orders',
	'routing',
	'entry',
	'discovery',
	'dispatch',
	'gateway',
	'lookup',
	'standins',
	'load',
	'cli',
	'harness',
	'measure',
];
const importPattern = /from '@filbertwell\/(?<name>[a-z\-]+)\//gv;

const sourceFiles = name => readdirSync(`packages/${name}/src`, {recursive: true})
	.filter(file => file.endsWith('.ts'))
	.map(file => `packages/${name}/src/${file}`);

const declaredPackages = name => {
	const manifest = JSON.parse(readFileSync(`packages/${name}/package.json`, 'utf8'));
	return Object.keys({...manifest.dependencies, ...manifest.devDependencies})
		.filter(dependency => dependency.startsWith('@filbertwell/'))
		.map(dependency => dependency.slice('@filbertwell/'.length));
};

const offencesOfPackage = name => {
	const declared = declaredPackages(name);
	const offences = declared
		.filter(dependency => packageOrder.indexOf(dependency) >= packageOrder.indexOf(name))
		.map(dependency => `packages/${name}/package.json: dependency "${dependency}" points against the package order`);
	for (const file of sourceFiles(name)) {
		for (const match of readFileSync(file, 'utf8').matchAll(importPattern)) {
			if (!declared.includes(match.groups.name)) {
				offences.push(`${file}: imports "@filbertwell/${match.groups.name}", which packages/${name}/package.json does not declare`);
			}
		}
	}

	return offences;
};

const unlisted = readdirSync('packages').filter(name => !packageOrder.includes(name));
const offences = [
	...unlisted.map(name => `packages/${name}: not in the package order of scripts/checkImports.mjs; add it`),
	...packageOrder.flatMap(name => offencesOfPackage(name)),
];
for (const offence of offences) {
	console.error(offence);
}

console.log(`${packageOrder.length} packages checked, ${offences.length} import offences`);
process.exitCode = offences.length === 0 ? 0 : 1;
