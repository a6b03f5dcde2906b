/** @type {import('xo').FlatXoConfig} */
const xoConfig = [
	{
		ignores: ['**/lib/**', '**/node_modules/**'],
	},
	{
		rules: {
			// The house style names files in camel case; it goes before XO.
			'unicorn/filename-case': ['error', {case: 'camelCase'}],
			// Test tools are declared once, in the root package.json.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		files: ['vitest.config.ts', '**/__tests__/**'],
		rules: {
			// The root config and the tests are outside the build's project references.
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-member-access': 'off',
			'@typescript-eslint/no-unsafe-return': 'off',
			'@typescript-eslint/no-unsafe-argument': 'off',
		},
	},
];

export default xoConfig;
