// Lint rules: typed linting, the verb list, the import directions and the house style.
import { readFileSync } from "node:fs";
import tseslint from "typescript-eslint";

const readVerbs = () => {
  const rows = readFileSync(new URL("docs/verbs.md", import.meta.url), "utf8").split(
    "\n",
  );
  return rows
    .filter(
      (row) =>
        row.startsWith("| ") && !row.startsWith("| verb") && !row.startsWith("| ---"),
    )
    .flatMap((row) => row.split("|")[1].split(","))
    .map((verb) => verb.trim());
};

/** What each package may import; tests and measurements may import more. */
const ALLOWED_IMPORTS = {
  common: [],
  outcomes: ["common"],
  bundle: ["common"],
  decisions: ["common", "bundle"],
  streams: ["common", "outcomes"],
  http: ["common", "outcomes"],
  stores: ["common", "outcomes", "http"],
  engines: ["common", "outcomes", "http", "streams"],
  services: ["common", "outcomes", "http"],
  telemetry: ["common"],
  settings: ["common", "bundle", "streams"],
  rollout: ["common", "bundle", "stores"],
  orders: ["common", "stores", "engines", "outcomes"],
  membership: ["common", "stores"],
  claims: ["common", "outcomes", "stores"],
  routing: ["common"],
  directory: ["common"],
  storefeed: ["common"],
  diagnosis: ["common"],
  pace: ["common", "directory"],
  paths: ["common", "directory"],
  placement: ["common", "directory", "pace"],
  admission: ["common"],
  crashes: ["common", "directory", "storefeed"],
  origins: ["common", "directory", "placement", "storefeed"],
  limits: ["common", "directory", "placement"],
  backoffs: ["common", "directory"],
  saturation: ["common"],
  capacity: ["common", "directory", "placement"],
  signals: ["common", "directory", "limits", "backoffs", "capacity"],
  forwarding: [
    "admission",
    "common",
    "crashes",
    "routing",
    "directory",
    "origins",
    "pace",
    "paths",
    "placement",
    "saturation",
    "signals",
  ],
  migration: ["common", "directory", "forwarding", "placement"],
  peers: [
    "capacity",
    "common",
    "crashes",
    "directory",
    "limits",
    "origins",
    "pace",
    "paths",
    "placement",
    "storefeed",
  ],
  fleet: [
    "admission",
    "capacity",
    "common",
    "directory",
    "limits",
    "backoffs",
    "pace",
    "routing",
    "storefeed",
    "placement",
    "forwarding",
    "migration",
  ],
  relay: ["common", "bundle", "decisions", "streams", "outcomes", "engines", "telemetry"],
  entry: [
    "claims",
    "common",
    "bundle",
    "decisions",
    "streams",
    "outcomes",
    "http",
    "services",
    "telemetry",
    "relay",
  ],
  standins: [
    "common",
    "bundle",
    "streams",
    "outcomes",
    "http",
    "stores",
    "engines",
    "rollout",
    // The other end of the users' platform speaks its wire.
    "platform",
  ],
};

/** Words of the users' platform; they stand in its folder, in the stand-in of its other end, and nowhere else. */
const WIRE_WORDS =
  "^(Request-Id|Deadline-Ms|Prompt-Prefix|Token-Usage|Length-Hint|Expect-Instance|Expect-Version|Pin-Ms|Kv-[A-Za-z]+|Not-Executed|Response-Signature|Instance-Id|/(rows|kv|hold|blob)-[a-z]+.*|/report|draining|non_idempotent|idempotent|streaming)$";
const WIRE_FIELDS =
  "^(targetLatencyMs|maxAttempts|authExempt|streamResume|gap_aim_ms|kvCapacity|kvTokenBytes|kvUsed|kvTotal|leaves_ms|nextPageToken|targetVersion|sinceRev|expectedRev|warmupLeftMs|apiKeys|routeType)$";

const directionRules = Object.entries(ALLOWED_IMPORTS).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  ignores: ["**/*.test.ts"],
  rules: {
    "no-restricted-imports": [
      "error",
      {
        patterns: [
          {
            regex: `^@stairgauge/(?!(${allowed.join("|") || "none"})$)`,
            message: `the package ${name} may import only: ${allowed.join(", ") || "nothing"}`,
          },
        ],
      },
    ],
  },
}));

const VERB_PATTERN = `^(${readVerbs().join("|")})([A-Z0-9]|$)`;

export default tseslint.config(
  { ignores: ["**/dist/**", "**/node_modules/**", "target/**", "journal/**"] },
  ...tseslint.configs.recommendedTypeChecked.map((config) => ({
    ...config,
    files: ["**/*.ts"],
  })),
  {
    files: ["**/*.ts"],
    languageOptions: {
      parserOptions: {
        project: "./tsconfig.tests.json",
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      "@typescript-eslint/switch-exhaustiveness-check": [
        "error",
        { considerDefaultExhaustiveForUnions: true },
      ],
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/naming-convention": [
        "error",
        {
          selector: "variable",
          types: ["function"],
          format: ["camelCase"],
          custom: { regex: VERB_PATTERN, match: true },
          filter: { regex: "^(Ok|Err)$", match: false },
        },
        { selector: "typeLike", format: ["PascalCase"] },
      ],
      "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
      "@typescript-eslint/prefer-promise-reject-errors": "off",
      "@typescript-eslint/restrict-template-expressions": [
        "error",
        { allowNumber: true },
      ],
      "@typescript-eslint/only-throw-error": "error",
      "prefer-const": "error",
      "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
      "no-restricted-syntax": [
        "error",
        { selector: "ClassDeclaration", message: "use a factory function" },
        { selector: "FunctionDeclaration", message: "use an arrow function" },
        { selector: "TSEnumDeclaration", message: "use a union" },
      ],
    },
  },
  {
    files: ["packages/*/src/**/*.ts"],
    ignores: [
      "**/*.test.ts",
      "packages/common/src/**",
      "packages/testkit/src/**",
      "packages/measure/src/**",
    ],
    rules: {
      "no-restricted-properties": [
        "error",
        { object: "Date", property: "now", message: "take a Clock" },
        { object: "Math", property: "random", message: "take a Random" },
      ],
    },
  },
  {
    files: ["packages/*/src/**/*.ts", "apps/*/src/**/*.ts"],
    ignores: [
      "**/*.test.ts",
      "apps/box/src/box.testkit.ts",
      "packages/standins/src/usersPlatform/**",
    ],
    rules: {
      "no-restricted-syntax": [
        "error",
        { selector: "ClassDeclaration", message: "use a factory function" },
        { selector: "FunctionDeclaration", message: "use an arrow function" },
        { selector: "TSEnumDeclaration", message: "use a union" },
        {
          selector: `Literal[value=/${WIRE_WORDS.replaceAll("/", "\\/")}/]`,
          message: "a word of the users' platform belongs into platform/",
        },
        {
          selector: `Identifier[name=/${WIRE_FIELDS}/]`,
          message: "a field of the users' platform belongs into platform/",
        },
      ],
    },
  },
  {
    files: ["**/*.test.ts"],
    rules: { "max-lines": "off", "@typescript-eslint/require-await": "off" },
  },
  {
    files: [
      "apps/daemon/src/**/*.ts",
      "apps/cli/src/**/*.ts",
      "packages/{measure,hunt,testkit}/src/**/*.ts",
    ],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            {
              regex: "^@stairgauge/platform$",
              message: "only apps/box wires the users' platform",
            },
          ],
        },
      ],
    },
  },
  ...directionRules,
);
