// The library's other build: its wrapper in CommonJS hands require around, which a bundler cannot follow.
import * as tsResults from "../node_modules/ts-results/esm/index.js";

export default tsResults;
