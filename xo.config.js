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
		// The names on the wire are the platform's.
		files: ['platform/**/*.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// Tests are outside the build's project references; they have a project of their own.
		files: ['vitest.config.ts', '**/__tests__/**/*.ts'],
		languageOptions: {
			parserOptions: {
				projectService: false,
				project: './tsconfig.tests.json',
				tsconfigRootDir: import.meta.dirname,
			},
		},
		rules: {
			// Rows of a fault table have as many columns as the fault needs.
			'max-params': 'off',
		},
	},
];

export default xoConfig;
