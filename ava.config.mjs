export default {
    files: ["dist/tests/**/*.test.js"],
    timeout: "2m",
    failFast: false,
    concurrency: 4,
};
