/**
 * Bundles the TypeScript sources of the gateway into one file under target/, which starts faster and uses less
 * memory than separate modules.
 */
import path from 'node:path';
import {build} from 'esbuild';

/** Resolves imports of workspace modules to their TypeScript sources. */
const workspaceModules = {
	name: 'workspace-modules',
	setup({onResolve}) {
		onResolve({filter: /^@filbertwell\//}, ({path: name}) => {
			const [, packageName, ...modulePath] = name.split('/');
			return {path: path.resolve('packages', packageName, 'src', `${modulePath.join('/')}.ts`)};
		});
	},
};

await build({
	entryPoints: ['platform/src/main.ts'],
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	outfile: 'target/gateway.mjs',
	minifySyntax: true,
	legalComments: 'none',
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
	plugins: [workspaceModules],
	logLevel: 'warning',
});
