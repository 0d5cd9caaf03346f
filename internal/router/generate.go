package router

import (
	"kitetiller/internal/api"
	"kitetiller/internal/node"
)

// generateRequest returns the body of an attempt that is sent to an engine.
func (a *activeAttempt) generateRequest(file *node.File) api.GenerateRequest {
	request := api.GenerateRequest{
		Request: a.exchange.name, Attempt: a.action.Attempt, Router: file.Name, Tenant: a.exchange.request.Tenant,
		Prompt: a.exchange.prompt, Blocks: a.action.Blocks, PromptTokens: a.exchange.request.PromptTokens,
		MaxTokens: a.action.MaxTokens, ResumeFrom: a.action.ResumeFrom, Lane: a.action.Lane,
		Seed: a.exchange.completion.Seed, Incarnation: a.action.Incarnation, Weights: a.action.Weights,
		ExpectedCachedTokens: a.action.ExpectedCachedTokens, ImportFrom: a.action.ImportFrom, ImportBlocks: a.action.ImportBlocks,
	}
	if a.action.StoreInVault {
		request.VaultBlocks, request.Vault = a.action.VaultBlocks, file.Router.Vault
	}
	return request
}
