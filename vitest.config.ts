import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['packages/*/src/**/__tests__/**/*.test.ts', 'platform/src/**/__tests__/**/*.test.ts', 'examples/*/src/**/__tests__/**/*.test.ts'],
		setupFiles: ['packages/measure/src/__tests__/passKnownRed.ts'],
		testTimeout: 30_000,
		hookTimeout: 30_000,
		pool: 'forks',
		maxWorkers: 6,
	},
});
