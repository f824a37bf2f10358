/** Tests that each check reports evidence that violates its promise. */
package org.corianderweir.bench.observer;
