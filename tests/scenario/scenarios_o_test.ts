import { testScenarios } from "./scenarios.ts";

testScenarios("o", "o");
