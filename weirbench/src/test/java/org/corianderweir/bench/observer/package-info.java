/** Tests that each check fails on a journal that breaks its promise. */
package org.corianderweir.bench.observer;
