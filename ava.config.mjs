export default {
    files: ["dist/tests/**/*.test.js"],
    timeout: "5m",
    failFast: false,
    concurrency: 4,
};
