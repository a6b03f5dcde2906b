/**
 * Checks imports between packages: a package may import only packages that its package.json declares, and may
 * declare only packages that precede it in `packageOrder`, so that there are no dependency cycles.
 * Prints each violation, and exits with code 1 if there are any.
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

const findViolations = name => {
	const declared = declaredPackages(name);
	const violations = declared
		.filter(dependency => packageOrder.indexOf(dependency) >= packageOrder.indexOf(name))
		.map(dependency => `packages/${name}/package.json: dependency "${dependency}" does not precede the package in the package order`);
	for (const file of sourceFiles(name)) {
		for (const match of readFileSync(file, 'utf8').matchAll(importPattern)) {
			if (!declared.includes(match.groups.name)) {
				violations.push(`${file}: imports "@filbertwell/${match.groups.name}", which packages/${name}/package.json does not declare`);
			}
		}
	}

	return violations;
};

const unlisted = readdirSync('packages').filter(name => !packageOrder.includes(name));
const violations = [
	...unlisted.map(name => `packages/${name}: not in the package order of scripts/checkImports.mjs; add it`),
	...packageOrder.flatMap(name => findViolations(name)),
];
for (const violation of violations) {
	console.error(violation);
}

console.log(`${packageOrder.length} packages checked, ${violations.length} import violations`);
process.exitCode = violations.length === 0 ? 0 : 1;
